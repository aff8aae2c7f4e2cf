"""Step definitions of the features; behave imports each module."""
