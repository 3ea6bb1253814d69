"""Links between entry hosts: messages, membership and relays."""
