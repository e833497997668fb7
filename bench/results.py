"""Writing of results with the commit they belong to."""

import json
import subprocess
from pathlib import Path
from typing import Any

RESULTS = Path(__file__).parent / 'results'


def read_commit() -> str:
    """Return the commit of the tree; read it before a run begins."""
    found = subprocess.run(
        ['git', 'rev-parse', 'HEAD'],
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip()


def write_document(name: str, commit: str, document: dict[str, Any]) -> None:
    """Write figures as JSON together with their commit."""
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f'{name}.json'
    text = json.dumps({'commit': commit, **document}, indent=1)
    path.write_text(text + '\n')
