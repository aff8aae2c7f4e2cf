Feature: bytes of others cost about as much as they count

  Limits count bytes, but each Python object of a few bytes takes some 40 more. A
  faulty server could so take a multiple of what a limit allows.

  Scenario Outline: what is kept of <kind> takes little more than its bytes
    When <kind> are read up to 256 KiB
    Then at most 1 MiB is kept

    Examples:
      | kind                         |
      | events of two bytes          |
      | lines of an event            |
      | chunks of a body             |
      | headers of a response        |
      | texts of a chat response     |
      | parts of a recorded response |

  Scenario Outline: <kind> in small pieces takes time in proportion to its length
    # A line of 256 KiB took 1.4 s, as each piece copied all of it.
    When <kind> is read in pieces of 16 bytes, once four times as long
    Then it takes less than 8 times as long

    Examples:
      | kind                     |
      | a line                   |
      | an event of a chat       |
