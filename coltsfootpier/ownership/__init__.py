"""Ownership of partitions by daemons, under leases with epochs."""

from coltsfootpier.ownership._state import (
    DISPATCH_PARTITION,
    KEY_GROUP_COUNT,
    Ownership,
    OwnershipState,
    OwnerTable,
    compute_key_group,
    list_partitions,
    parse_vm_name,
    rank_by_rendezvous,
)

__all__ = [
    "DISPATCH_PARTITION",
    "KEY_GROUP_COUNT",
    "OwnerTable",
    "Ownership",
    "OwnershipState",
    "compute_key_group",
    "list_partitions",
    "parse_vm_name",
    "rank_by_rendezvous",
]
