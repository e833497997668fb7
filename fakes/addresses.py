"""Loopback addresses of a test run."""

import os

# Test runs beside each other have networks of their own: a port that is free
# when it is looked for may be taken by the other run before it is bound.
_NETS_PER_BYTE = 256
LOOPBACK_NET = (
    f'127.{1 + os.getpid() // _NETS_PER_BYTE % 254}'
    f'.{os.getpid() % _NETS_PER_BYTE}'
)
# For stand-ins that listen on their port again after a while. No outgoing
# connection has this address, so that none takes the port meanwhile.
STAND_IN_HOST = f'{LOOPBACK_NET}.250'
