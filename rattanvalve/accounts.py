"""Accounts of root programs, merged when a sub-agent names its parent."""

from rattanvalve.budgets import Account, merge

__all__ = ('RootAccounts',)


class RootAccounts:
    """Budget accounts by root program; merged roots share one account."""

    def __init__(self) -> None:
        self.by_root: dict[str, Account] = {}

    def get_or_create(self, root: str) -> Account:
        """Return the account of a root program, created if needed.

        :param root: program id of the root.
        :returns: account, shared by all linked roots.
        """
        account = self.by_root.get(root)
        if account is None:
            account = Account(names=[root])
            self.by_root[root] = account
        return account

    def link(self, root: str, other_root: str) -> None:
        """Merge the accounts of two root programs.

        A sub-agent may call before its parent is known, and a ledger that was
        rebuilt from records does not know the parent of a sub-agent until its
        next call. Until then the sub-agent has an account of its own.

        :param root: root under which the sub-agent was recorded.
        :param other_root: root program of its parent.
        """
        account = self.get_or_create(root)
        target = self.get_or_create(other_root)
        if account is target:
            return
        merge(target, account)
        for name in account.names:
            self.by_root[name] = target

    def remove_program(self, root: str) -> None:
        """Remove an expired program, and its account with the last program.

        :param root: root of the expired program.
        """
        account = self.by_root[root]
        account.program_count -= 1
        if account.program_count == 0:
            for name in account.names:
                self.by_root.pop(name)
