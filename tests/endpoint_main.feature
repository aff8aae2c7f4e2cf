Feature: program rattanvalve-endpoint

  Scenario: wrong settings give one line and exit code 78
    When the program starts with settings that lack a name
    Then it exits with 78 and one line that names the file

  Scenario: SIGTERM ends the process with exit code 0
    When the program starts with valid settings and gets SIGTERM
    Then it exits with 0 after the log lines leaving and stopped
