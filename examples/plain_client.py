"""Search with only the HTTP client of the standard library.

Usage: ``python plain_client.py HOST:PORT SERVICE QUERY``.
"""

import http.client
import json
import sys


def main() -> None:
    """Send one search and print the status and the body of the response."""
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
