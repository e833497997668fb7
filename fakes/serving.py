"""Command-line options and HTTP server shared by the stand-ins."""

import argparse

import uvicorn
from starlette.applications import Starlette


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all stand-ins share."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    return parser


def serve(app: Starlette, args: argparse.Namespace) -> None:
    """Serve an application until SIGTERM or SIGINT."""
    uvicorn.run(
        app,
        host=args.host,
        port=args.port,
        log_level='warning',
        access_log=False,
        timeout_graceful_shutdown=2,
        timeout_keep_alive=30,
    )
