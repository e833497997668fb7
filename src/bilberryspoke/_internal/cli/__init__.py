"""Entry points of the command-line tool and of the two daemons."""
