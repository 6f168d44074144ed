"""Ownership of partitions by daemons, under leases with epochs."""

from coltsfootpier.ownership._state import (
    DISPATCH,
    KEY_GROUPS,
    Ownership,
    OwnershipState,
    OwnerTable,
    key_group,
    list_partitions,
    parse_vm_name,
    rank_by_rendezvous,
)

__all__ = [
    "DISPATCH",
    "KEY_GROUPS",
    "OwnerTable",
    "Ownership",
    "OwnershipState",
    "key_group",
    "list_partitions",
    "parse_vm_name",
    "rank_by_rendezvous",
]
