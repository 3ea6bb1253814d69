"""Communication between entry hosts: message buses, codec and membership."""
