"""Help texts, errors and result messages of `turmericctl`."""

from __future__ import annotations

from typing import Final

# --- help ------------------------------------------------------------------------------------

ROOT_HELP: Final = """Operate a turmericweir router.

Every command connects to the operators' port of one instance. Any instance can be used: all have
the same settings, and information about other instances is shown with its age.

\b
Examples:
  turmericctl status
  turmericctl settings get /classes
  turmericctl settings set /teams/kestrel/limit '{"requests_s": 20}' --expect 41 --wait
  turmericctl settings diff settings.json

\b
Exit codes:
  0  done
  1  refused: a conflict, a missing permission, or an unknown name; for diff
     and check: there are differences or findings
  2  wrong usage or an invalid value
  3  unreachable: the instance, the platform's log, or a data centre that --wait waits for
"""
ADMIN_HELP: Final = "Operators' port of an instance, as ip:port."
TOKEN_HELP: Final = (
    "Bearer token of an operator. Prefer the environment variable: process lists show arguments."
)
OUTPUT_HELP: Final = "Output format: a table, or JSON for programs."
TIMEOUT_HELP: Final = "Seconds to wait for an answer from the instance."

SETTINGS_HELP: Final = """Read and change the settings.

Settings are values under paths. Each path has a version, which increases with every accepted
change. A change that names the expected version is refused if the path has another version.

\b
Paths:
  /classes/NAME             a service class
  /customers/NAME           a customer
  /teams/TEAM/limit         the team's own limit
  /teams/TEAM/customers/NAME
  /services/NAME            a service
  /servers/NAME             a backend server
  /models/NAME              how many servers should load a model
  /operators/NAME           an operator: digest of the token, writable paths
  /limits/default           limits that teams cannot raise; also team:NAME, customer:NAME
  /policy                   how servers are picked
"""
GET_HELP: Final = "Show the values at PATH and below it, with versions."
SET_HELP: Final = """Set PATH to VALUE, JSON with comments; `-` reads it from standard input.

Prints `accepted`, `conflict` with the current value, or `invalid` with the field. `pending` means
that the platform's log has not answered. The instance continues with the change, and
`settings change ID` shows its result.
"""
DELETE_HELP: Final = "Delete PATH; refused while another value refers to it."
DIFF_HELP: Final = """Compare FILE, an object of values by path, with the current settings.

Exits with 1 if there are differences.
"""
CHECK_HELP: Final = """Check FILE, an object of values by path, before it is sent.

Prints, with their lines, errors, values that can never take effect and values that contradict each
other, then what would change. The values are checked beside those in force; without an instance,
or if it cannot be reached, by themselves.

Exits with 2 if there are errors, with 1 if anything else was found or would change.
"""
CHECK_OFFLINE_HELP: Final = "Check without an instance: FILE holds all settings."
VALIDATE_HELP: Final = """Check whether FILE, an object of values by path, would be accepted now.

With --offline each value is checked separately, without an instance.
"""
HISTORY_HELP: Final = "Show the results of the most recent changes that the instance still has."
CHANGE_HELP: Final = "Show the result of the change with this ID."
EXPECT_HELP: Final = (
    "Expected version of the path, as shown by `settings get`; 0 if the path must not be set."
    " By default the version that the instance has when it receives the change."
)
WAIT_HELP: Final = "Wait until the change is in force in every data centre, and report each."
WAIT_TIMEOUT_HELP: Final = (
    "Seconds after which --wait stops waiting for the remaining data centres."
)
CHANGE_ID_HELP: Final = (
    "ID of the change; a change that is sent again with the same ID is made only once."
)
PREFIX_HELP: Final = "Only paths at and below this one."
OFFLINE_HELP: Final = "Check without an instance; references between values are not checked."

STATUS_HELP: Final = "Show the status of the instance and where its settings are in force."
STATE_HELP: Final = (
    "Print the state of the instance as JSON; PART selects a part, such as config.classes."
)
CLASSES_HELP: Final = (
    "Show the service classes, and the number of requests of each on this instance."
)
DUTIES_HELP: Final = "Show which instance reports usage and orders servers, and the progress."
CUSTOMERS_HELP: Final = """Show what customers of each class are served, wait and are refused.

\b
SHARE is of the work that all instances served lately; WAIT MS and REFUSED are of this instance.
"""
INSTANCES_HELP: Final = """Show which settings version each instance has.

\b
Prints a line for each data centre and version; with --all, one for each instance. For another data
centre only the lowest version is known, shown with >=. An instance there shows the exact versions.
"""
ALL_INSTANCES_HELP: Final = "Show each instance."
SERVERS_HELP: Final = "Show the backend servers with their state on this instance."
REQUESTS_HELP: Final = "Show the active requests of this instance, or the request with an ID."
RECENT_HELP: Final = "Also show this many of the most recently finished requests."
DRAIN_HELP: Final = "Send no new requests to SERVER from any instance; running requests finish."
COMPLETION_HELP: Final = """Print the completion script for a shell.

\b
  eval "$(turmericctl completion bash)"      in ~/.bashrc
  eval "$(turmericctl completion zsh)"       in ~/.zshrc
  turmericctl completion fish > ~/.config/fish/completions/turmericctl.fish
"""

# --- errors ----------------------------------------------------------------------------------

NO_ADMIN: Final = "no instance named: give --admin ip:port or set TURMERICCTL_ADMIN"
NOT_A_PATH: Final = "expected a path that begins with /, such as /classes/NAME, not {path!r}"
NOTHING_SET: Final = "nothing is set at {path} or below it"
NO_SUCH_PART: Final = "the state has no part {part!r}; there are: {parts}"
NO_SUCH_REQUEST: Final = "this instance has no request {request_id}"
UNREACHABLE: Final = "cannot reach {address}: {error}"
UNEXPECTED_ANSWER: Final = (
    "{address} is not a turmericweir instance: status {status}, and the body is not JSON"
)
NOT_JSON: Final = "{origin}: expected JSON with comments: {error}"
NOT_AN_OBJECT: Final = "{origin}: expected an object of values by path"
BAD_ADDRESS: Final = "expected ip:port"

# --- results ---------------------------------------------------------------------------------

ACCEPTED: Final = "accepted: {path} is at version {version}"
ACCEPTED_DELETION: Final = "accepted: {path} is deleted"
ACCEPTED_BEFORE: Final = "accepted: the change was made before, at offset {offset}"
CONFLICT: Final = "conflict: {path} is at version {version}, not {expected}"
CONFLICT_VALUE: Final = "  set by {won_by}: {value}"
CONFLICT_ABSENT: Final = "  it is not set"
INVALID: Final = "invalid: {path}"
PROBLEM: Final = "  {field}: {expected}"
PROBLEM_AS_A_WHOLE: Final = "  {expected}"
FORBIDDEN: Final = "refused: {operator} may not write {path}"
NOT_APPENDED: Final = "not made: {reason}"
PENDING: Final = (
    "pending: the platform's log has not answered; the instance continues with the change.\n"
    "  turmericctl settings change {change_id}"
)
OTHER_VERDICT: Final = "{verdict}: {path}"
VALID: Final = "valid: {count} values"
NOT_UTF8: Final = "expected UTF-8"
TOO_DEEP: Final = "nested too deeply"
EXPECTED_OBJECT: Final = "expected an object of values by path"
REPEATED_KEY: Final = "expected each key once; the earlier value is lost"
NOTHING_FOUND: Final = "nothing found in {count} values"
NO_INSTANCE: Final = "no instance was asked"
NOT_COMPARED: Final = "not compared with the settings in force: {reason}"
SAME: Final = "no differences"

IN_FORCE: Final = "{data_centre}: in force"
BEHIND: Final = "{data_centre}: not yet in force"
UNREACHABLE_CENTRE: Final = "{data_centre}: unreachable; {detail}"
LAST_UPDATE: Final = "last update {age:.0f} s ago"
NO_UPDATE: Final = "no update received"
MISSING_UPDATES: Final = "no update from {instance_names}"
WAIT_TIMED_OUT: Final = "accepted, but not known to be in force everywhere: {data_centres}"
DRAINED: Final = "{server}: draining; {in_flight} requests of this instance still run there"
