"""Free ports for the processes of a test."""

import random
import socket

LEAST_PORT = 10000


def free_port():
    """A port that is free for UDP and TCP, outside the ephemeral range.

    Ephemeral ports are taken by the connections of other tests between this
    choice and the start of a process.
    """
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first_ephemeral = int(file.read().split()[0])
    while True:
        port = random.randrange(LEAST_PORT, first_ephemeral)
        try:
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("", port))
        except OSError:
            continue
        return port
