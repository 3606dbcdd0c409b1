Feature: packages import only what the layout allows

  Scenario: no module imports against the layout
    When the imports of every module under src/pinepitch are read
    Then each is allowed by docs/design/layout.md

  Scenario: an import against the layout is found
    When a module of consensus that imports scheduling is read
    Then the import is named as not allowed

  Scenario: only the programs of daemons import the runtime
    When the imports of every module under src/pinepitch are read
    Then of control and front only the programs import runtime

  Scenario: nothing outside platform/ imports from it
    When the imports of every module under src/pinepitch are read
    Then none names a module of platform/
