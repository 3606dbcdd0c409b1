Feature: Api
  Every front daemon answers every call, with the statuses and codes that the page guarantees.

  Scenario: a key and a body make one job at whatever front daemon
    Given a simulated fleet behind its front daemons
    When one job is handed in at every front daemon under one key, then with another body
    Then all but the first answer 200 with the same job, and the other body 409 "key_reused"

  Scenario: pages list every job once, archived ones too
    Given a simulated fleet behind its front daemons
    When 40 jobs are handed in, finished, and some archived
    Then pages of 7 list each once in order, by queue and by state and by key as well

  Scenario Outline: <call> is answered with <status> and <code>
    Given a simulated fleet behind its front daemons
    Then at every front daemon <call> is answered with <status> and <code>

    Examples:
      | call                                         | status | code            |
      | GET /v1/tickets/t99                          | 404    | unknown_ticket  |
      | POST /v1/tickets/t99/cancel                  | 404    | unknown_ticket  |
      | GET /v1/nowhere                              | 404    | no_such_way     |
      | PUT /v1/tickets                              | 405    | method          |
      | PATCH /v1/setup {}                           | 428    | base_needed     |
      | GET /v1/setup/versions/99                    | 404    | unknown_version |
      | POST /v1/drafts/d9/approve                   | 404    | unknown_draft   |
      | POST /v1/tickets {"queue":"none","tasks":[{"name":"a"}]} | 422 | invalid  |
      | POST /v1/tickets {"queue":"default","tasks":[]} | 422 | invalid         |
      | POST /v1/tickets nonsense                    | 400    | malformed       |
      | GET /v1/tickets?limit=x                      | 400    | malformed       |

  Scenario: a change names the version it builds on
    Given a simulated fleet behind its front daemons
    Then the queue configuration's version is its ETag, a change on it is taken, and a second on it gets 409 "base_moved"
