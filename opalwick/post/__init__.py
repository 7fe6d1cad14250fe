"""The ingest and dispatch service.

The program `carrier` runs the data plane: gateways (role `counter`) and stores (role `depot`). The program
`postmaster` runs the control plane: controllers (role `office`).
"""
