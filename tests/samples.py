"""Sample configuration shared by several features."""

import json

from rattanvalve.catalog import build_catalog
from rattanvalve.inventory import parse_config
from rattanvalve.keys import key_digest

NORTH_KEY = 'rv-north-key'
SOUTH_KEY = 'rv-south-key'


def sample_document():
    """Build a small configuration document.

    :returns: a new document of lists and dictionaries, which may be modified.
    """
    return {
        'inventory': {
            'models': [{'name': 'small', 'service': 'agent-models'}],
            'services': [
                {
                    'name': 'agent-models',
                    'kind': 'engine',
                    'checks_fencing': True,
                },
                {
                    'name': 'orders-app',
                    'kind': 'plain',
                    'non_repeatable': [
                        {'method': 'POST', 'path_prefix': '/orders'},
                    ],
                },
            ],
            'workspaces': [{'name': 'north'}, {'name': 'south', 'shards': 2}],
            'keys': [
                {
                    'name': 'north-1',
                    'workspace': 'north',
                    'digest_sha256': key_digest(NORTH_KEY),
                },
                {
                    'name': 'south-1',
                    'workspace': 'south',
                    'digest_sha256': key_digest(SOUTH_KEY),
                },
            ],
        },
        'rules': {
            'rates': {
                'north': {'rate_per_s': 100, 'burst': 200},
                'south': {'rate_per_s': 10, 'burst': 5},
            },
            'priorities': {'north': 'high'},
            'open_routes': [
                {
                    'service': 'orders-app',
                    'method': 'GET',
                    'path_prefix': '/public',
                },
            ],
        },
    }


def sample_config():
    """Parse the sample document.

    :returns: validated configuration.
    """
    return parse_config(json.dumps(sample_document()).encode()).unwrap()


def sample_catalog(generation=1):
    """Build the catalog of the sample configuration.

    :param generation: generation of the configuration.
    :returns: catalog.
    """
    return build_catalog(sample_config(), generation)
