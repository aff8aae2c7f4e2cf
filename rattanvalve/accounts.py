"""Accounts of root programs, joined when a sub-agent names its parent."""

from rattanvalve.budgets import Account, merge

__all__ = ('RootAccounts',)


class RootAccounts:
    """Accounts by the name of the root program."""

    def __init__(self) -> None:
        self.by_root: dict[str, Account] = {}

    def of_root(self, root: str) -> Account:
        """Find or make the account of a root program.

        :param root: program id of the root.
        :returns: account, shared by all roots that were linked.
        """
        account = self.by_root.get(root)
        if account is None:
            account = Account(names=[root])
            self.by_root[root] = account
        return account

    def link(self, root: str, other_root: str) -> None:
        """Count two root programs to one account from now on.

        A program may be seen before its parent, and a rebuilt ledger does not
        know parents until their sub-agents call again.

        :param root: program id that turned out to be a sub-agent.
        :param other_root: root program of its parent.
        """
        account = self.of_root(root)
        target = self.of_root(other_root)
        if account is target:
            return
        merge(target, account)
        for name in account.names:
            self.by_root[name] = target

    def leave(self, root: str) -> None:
        """Note that a program expired; drop the account with its last one.

        :param root: root of the expired program.
        """
        account = self.by_root[root]
        account.program_count -= 1
        if account.program_count == 0:
            for name in account.names:
                self.by_root.pop(name)
