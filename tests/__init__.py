"""Features that mirror the package, and the check runner."""
