Feature: Power loss
  Whatever a loss of power, a kill or a full disk leaves of single files, a member leads only with a state that
  holds all that was acknowledged, and never finds a folder that it can't trust.

  Scenario Outline: control daemons of the fleet <fleet> lose nothing
    When power, processes and room on disks are lost in the fleet <fleet> with seeds <seeds>
    Then no trial of power losses finds a fault

    Examples:
      | fleet     | seeds  |
      | three     | 0 to 1 |
      | five      | 0 to 0 |
      | nine      | 0 to 0 |
      | forgetful | 0 to 1 |

  Scenario Outline: the injected fault <injected> is found in the fleet <fleet>
    When power is lost in the fleet <fleet> with seeds <seeds> and the injected fault <injected>
    Then some trial of power losses finds <fault>

    Examples:
      | injected             | fleet     | seeds    | fault                       |
      | names-unsynced       | three     | 0 to 0   | can't trust its folder      |
      | content-unsynced     | three     | 0 to 0   | is not what was written     |
      | written-in-place     | three     | 2 to 2   | is not what was written     |
      | removed-before-base  | three     | 4 to 4   | is missing                  |
      | segments-behind-base | three     | 0 to 0   | segment 1 is missing        |
      | retired-forgotten    | forgetful | 0 to 1   | NoneType                    |
