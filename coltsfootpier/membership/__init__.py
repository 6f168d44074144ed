"""Tables of the daemons, with their reachability, and of the VMs that the platform lists."""

from coltsfootpier.membership._table import Member, MemberTable
from coltsfootpier.membership._vms import VmTable

__all__ = ["Member", "MemberTable", "VmTable"]
