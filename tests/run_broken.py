"""Runs a program with one of its mechanisms deliberately broken."""

import sys


def run_broken(programs, breaks):
    """Apply the break given on the command line, then run the program.

    The first arguments are the program and the name of the break.

    :param programs: main functions by program name.
    :param breaks: owner, attribute and replacement of each part to break, by
        the name of the break.
    """
    program, break_name = sys.argv[1:3]
    for owner, name, broken in breaks[break_name]:
        setattr(owner, name, broken)
    programs[program](sys.argv[3:])
