"""The daemon: HTTP, gRPC, disk and the tick loop."""
