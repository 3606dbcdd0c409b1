Feature: Second loss
  A loss right after a repair or a replacement, or in any step of one, takes nothing that was acknowledged.

  Scenario Outline: <trial> takes nothing
    When second losses are tried as <trial> with seeds 0 to <last>
    Then no trial of second losses finds a fault

    Examples:
      | trial                | last |
      | leader-stops         | 3    |
      | leader-stops-cut-off | 3    |
      | seat-handed-on       | 5    |
      | rolling-restart      | 1    |
      | replaced-in-time     | 3    |
      | replaced-elsewhere   | 3    |
      | replacement-replaced | 1    |
      | newcomer-cut-off     | 3    |
      | spare-lost-too       | 1    |
      | area-lost-beside     | 5    |
      | wiped-twice          | 2    |
      | change-struck        | 0    |
      | snapshot-struck      | 0    |
      | founding-struck      | 1    |
      | only-copy-leaves     | 3    |

  Scenario Outline: the injected fault <injected> is found by <trial>
    When second losses are tried as <trial> with seeds 0 to 3 and the injected fault <injected>
    Then some trial of second losses finds <fault>

    Examples:
      | injected          | trial                | fault                       |
      | serves-on         | leader-stops-cut-off | relies on its lease of term |
      | no-successor      | leader-stops         | without a leader for        |
      | no-heir           | seat-handed-on       | the voters are              |
      | seat-dropped      | rolling-restart      | the voters were             |
      | slow-replacement  | replaced-in-time     | does not vote               |
      | slow-replacement  | replacement-replaced | does not vote               |
      | any-heir          | rolling-restart      | the voters were             |
      | never-spread      | replaced-elsewhere   | back does not vote          |
      | area-alone        | replaced-elsewhere   | does not vote               |
      | old-list-alone    | seat-handed-on       | without a quorum of         |
      | held-too-soon     | newcomer-cut-off     | without a quorum of         |
      | held-too-soon     | area-lost-beside     | without a quorum of         |
      | held-too-soon     | wiped-twice          | without a quorum of         |
      | counted-too-soon  | spare-lost-too       | without a quorum of         |
      | counted-too-soon  | change-struck        | without a quorum of         |
      | snapshot-too-soon | snapshot-struck      | does not vote               |
      | counted-too-soon  | only-copy-leaves     | is gone                     |
      | founds-at-sight   | founding-struck      | no leader within            |
