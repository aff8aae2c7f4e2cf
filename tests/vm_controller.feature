Feature: hints of the platform's list of VMs

  Scenario Outline: the list of VMs is only a hint
    Given four entries and the endpoints s-1 and s-2
    When the VM list says <list>
    Then the candidates of all entries are <names>
    And <count> entries have read the list
    And the view is unchanged

    Examples:
      | list                   | names   | count |
      | nothing                | s-1 s-2 | 2     |
      | s-1 leaving            | s-2     | 2     |
      | s-1 live, s-2 live     | s-1 s-2 | 2     |
      | s-1 leaving, s-2 leaving | s-1 s-2 | 2   |
      | s-1 gone               | s-1 s-2 | 2     |
      | s-3 leaving            | s-1 s-2 | 2     |

  Scenario: hints end when the list cannot be read for long
    Given four entries and the endpoints s-1 and s-2
    When the VM list says s-1 leaving
    And the VM list is rubbish for 40 s
    Then the candidates of all entries are s-1 s-2
    And the watchers report a problem and count it

  Scenario: entries ask the second watcher when the first does not answer
    Given four entries and the endpoints s-1 and s-2
    When the first watcher is cut off and the VM list says s-1 leaving
    Then the candidates of the reachable entries are s-2

  Scenario Outline: the checks notice a broken mechanism of the VM list
    Given a break: <break>
    And four entries and the endpoints s-1 and s-2
    When the VM list says <list>
    And the VM list is rubbish for <count> s
    Then the candidates of some entry are not s-1 s-2

    Examples:
      | break                     | list                     | count |
      | hints do not end          | s-1 leaving              | 40    |
      | hints exclude the last    | s-1 leaving, s-2 leaving | 0     |
