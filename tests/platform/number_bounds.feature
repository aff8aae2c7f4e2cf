Feature: numbers at the edges of what operators and callers may state

  # A usage cap without a burst refused its workspace for good: the wait for a token
  # was infinite, and a store failed to convert it. Callers got 503.
  Scenario: each rate and burst is usable, at the start and after a change
    Then three stores answer for each rate and burst of these, also after a change
      | number |
      | 0      |
      | 5e-324 |
      | 1e-300 |
      | 1e-9   |
      | 0.01   |
      | 0.5    |
      | 1      |
      | 2.9    |
      | 40     |
      | 1e18   |
      | 1.7e308 |
    And of rates from 0.5 a second, each grants requests with each burst
    And with a burst of 0, 1 or 2.9 each store grants some while the others are away

  # Turns failed with an internal error, or no message could carry the number.
  Scenario: each number of a route and of an engine is usable
    Then a turn is reserved and stored with each of these in each field
      | number  |
      | 0       |
      | 5e-324  |
      | 0.001   |
      | 1       |
      | 1e18    |
      | 1e300   |
      | 1.7e308 |
      | 10000000000000000000000000 |
    And a turn of a caller who states each of these is reserved

  # Rounding selected a service that got no share of the requests.
  Scenario: no request goes to a service without a weight
    Then each share of these is chosen for a service, and none without one
      | first  | second |
      | 0      | 1      |
      | 5e-324 | 0      |
      | 1e300  | 0      |
      | 0.001  | 0      |

  # A request without any time left was given all of the route's time.
  Scenario: a deadline of 0 ms leaves no time
    Then a caller's deadline of these gives a request this much time on a route of 4000 ms
      | deadline | time |
      | none     | 4000 |
      | 0        | 0    |
      | 0.5      | 0.5  |
      | 9000     | 4000 |

  # Processes would have called the platform's store without a pause.
  Scenario: bounds on the age of documents are kept apart from 0
    Then each bound of the settings file may be one of these
      | number |
      | 0      |
      | 1e-9   |
      | inf    |
      | nan    |
