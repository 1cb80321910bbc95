"""Search with nothing but the standard library's HTTP client."""

import http.client
import json
import sys


def main() -> None:
    """Print the answer of one search."""
    address, service, query = sys.argv[1:]
    connection = http.client.HTTPConnection(address, timeout=5)
    connection.request(
        'POST',
        f'/v1/services/{service}/search',
        json.dumps({'query': query, 'limit': 2}),
        {'Content-Type': 'application/json', 'Deadline-Ms': '110'},
    )
    response = connection.getresponse()
    print(response.status, json.dumps(json.load(response), indent=2))


if __name__ == '__main__':
    main()
