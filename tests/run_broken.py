"""Runs a program with one of its mechanisms broken on purpose."""

import sys


def run_broken(programs, breaks):
    """Break what the command line names, then run the program.

    The first arguments are the program and the name of the break.

    :param programs: main functions by the name of the program.
    :param breaks: owner, attribute and replacement of each broken part, by
        the name of the break.
    """
    program, break_name = sys.argv[1:3]
    for owner, name, broken in breaks[break_name]:
        setattr(owner, name, broken)
    programs[program](sys.argv[3:])
