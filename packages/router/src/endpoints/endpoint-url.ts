import type * as core from '@bluebellmast/core';

/** Returns the origin of an endpoint, such as `http://10.0.0.1:80`. */
export function endpointOrigin(endpoint: core.model.Endpoint): string {
	return `http://${endpoint.host}:${endpoint.port}`;
}
