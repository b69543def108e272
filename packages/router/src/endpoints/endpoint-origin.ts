import type * as core from '@bluebellmast/core';

/** Returns the origin of an endpoint, such as `http://10.0.0.1:80` or `http://[2001:db8::1]:80`. */
export function endpointOrigin(endpoint: core.model.Endpoint): string {
	const host = endpoint.host.includes(':') ? `[${endpoint.host}]` : endpoint.host;
	return `http://${host}:${endpoint.port}`;
}
