"""The maintenance window: racks go down in turn while capacity stays sufficient
(`docs/design/maintenance.md`).

`racks` (the declaration) -> `fleet` (what is present) -> `needs` -> `planner` -> `conductor` (the
coordinator); `shares` is used by gateways. None of these uses sockets, disks or clocks. Nothing runs without
a window.
"""
