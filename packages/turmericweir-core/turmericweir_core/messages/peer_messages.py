"""All messages between entry instances, which the daemon encodes as msgpack.

`PEER_MESSAGES` lists them for the codec; each concern has its own module beside this one. Fields
are encoded by position and hold only what msgpack supports: numbers, strings, booleans, and lists,
dicts and nested data classes of them.
"""

from __future__ import annotations

from typing import Final, TypeAlias

from turmericweir_core.messages.claim_messages import (
    ClaimAsk,
    ClaimKept,
    ClaimOpen,
    ClaimRelease,
    ClaimUnheld,
    ClaimVote,
    ClaimVoteAsk,
)
from turmericweir_core.messages.crash_messages import (
    CrashesAsk,
    CrashNews,
    TrialAnswer,
    TrialAsk,
    TrialEnd,
)
from turmericweir_core.messages.credit_messages import CreditDemand, CreditGrant
from turmericweir_core.messages.duty_messages import (
    DutyStatus,
    ModelDemand,
    UsageAsk,
    UsageCounts,
    UsageSend,
)
from turmericweir_core.messages.fair_share_messages import ShareReport, ShareTotals
from turmericweir_core.messages.limit_messages import LimitAsk, LimitGrant
from turmericweir_core.messages.load_messages import CachesAsk, CachesSend, LoadBundle, LoadNews
from turmericweir_core.messages.loan_messages import (
    LimitLoan,
    LimitLoanAsk,
    RetryLoan,
    RetryLoanAsk,
)
from turmericweir_core.messages.membership_messages import (
    Heartbeat,
    MarksAsk,
    MarksSend,
    MembersAsk,
    MembersSend,
)
from turmericweir_core.messages.server_messages import (
    CarryAsk,
    PathsAsk,
    PathsSend,
    RegistryNews,
    ServersAsk,
    ServersSend,
)
from turmericweir_core.messages.settings_messages import (
    DocumentAsk,
    DocumentProof,
    DocumentSend,
    SettingsAsk,
    SettingsSend,
)
from turmericweir_core.messages.stream_messages import StreamAsk, StreamsBound, StreamUnknown

PeerMessage: TypeAlias = (
    Heartbeat
    | MembersAsk
    | MembersSend
    | MarksAsk
    | MarksSend
    | ServersAsk
    | ServersSend
    | SettingsAsk
    | SettingsSend
    | DocumentAsk
    | DocumentSend
    | DocumentProof
    | LoadNews
    | LoadBundle
    | RegistryNews
    | PathsAsk
    | PathsSend
    | CarryAsk
    | StreamsBound
    | StreamAsk
    | StreamUnknown
    | CachesAsk
    | CachesSend
    | CreditDemand
    | CreditGrant
    | ClaimAsk
    | ClaimKept
    | ClaimOpen
    | ClaimUnheld
    | ClaimVoteAsk
    | ClaimVote
    | ClaimRelease
    | LimitAsk
    | LimitGrant
    | CrashNews
    | CrashesAsk
    | LimitLoanAsk
    | LimitLoan
    | RetryLoanAsk
    | RetryLoan
    | TrialAsk
    | TrialAnswer
    | TrialEnd
    | ModelDemand
    | UsageCounts
    | UsageAsk
    | UsageSend
    | DutyStatus
    | ShareReport
    | ShareTotals
)

PEER_MESSAGES: Final[tuple[type[PeerMessage], ...]] = (
    Heartbeat,
    MembersAsk,
    MembersSend,
    MarksAsk,
    MarksSend,
    ServersAsk,
    ServersSend,
    SettingsAsk,
    SettingsSend,
    DocumentAsk,
    DocumentSend,
    DocumentProof,
    LoadNews,
    LoadBundle,
    RegistryNews,
    PathsAsk,
    PathsSend,
    CarryAsk,
    StreamsBound,
    StreamAsk,
    StreamUnknown,
    CachesAsk,
    CachesSend,
    CreditDemand,
    CreditGrant,
    ClaimAsk,
    ClaimKept,
    ClaimOpen,
    ClaimUnheld,
    ClaimVoteAsk,
    ClaimVote,
    ClaimRelease,
    LimitAsk,
    LimitGrant,
    CrashNews,
    CrashesAsk,
    LimitLoanAsk,
    LimitLoan,
    RetryLoanAsk,
    RetryLoan,
    TrialAsk,
    TrialAnswer,
    TrialEnd,
    ModelDemand,
    UsageCounts,
    UsageAsk,
    UsageSend,
    DutyStatus,
    ShareReport,
    ShareTotals,
)
