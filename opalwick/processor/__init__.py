"""External processor for proxies: they open a call per request, the scheduler decides, they forward.

Input are a proxy's messages about its requests; output are decisions: a worker, or an immediate answer.
`exchange.py` connects calls to the reducer, without I/O or a clock; `grpc.py` implements gRPC over HTTP/2 on
bytes; `messages.py` converts the messages of `envoy.service.ext_proc.v3`; `front.py` serves them on sockets.
"""
