"""What the owner of a quota answers for one call."""

from __future__ import annotations

from typing import Final

import msgspec

# Wait that tells the asking node that another node owns the quota.
_NOT_OWNER_S: Final = -1.0


class QuotaGrant(msgspec.Struct, frozen=True, gc=False):
    """Answer of a quota's owner to a request for one call.

    Attributes
    ----------
    wait_s : float
        0 if the call is granted; else the time in seconds until a call may be
        granted. Negative if the node that answers does not own the quota.
    run_share : float
        Share of the team's recently granted calls that were run, 0 to 1.
    """

    wait_s: float = 0.0
    run_share: float = 1.0

    @property
    def is_granted(self) -> bool:
        """Whether the call may be sent."""
        return not self.wait_s

    @property
    def is_from_owner(self) -> bool:
        """Whether the node that answered owns the quota."""
        return self.wait_s >= 0


NOT_OWNER: Final = QuotaGrant(_NOT_OWNER_S)
