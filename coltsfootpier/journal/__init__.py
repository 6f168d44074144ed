"""Head record of a cell: its owner and the number of the last change."""

from coltsfootpier.journal._head import (
    ActionBounds,
    Head,
    OwnerInfo,
    decode_head,
    decode_owner,
    was_applied,
)

__all__ = ["ActionBounds", "Head", "OwnerInfo", "decode_head", "decode_owner", "was_applied"]
