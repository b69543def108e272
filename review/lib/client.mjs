// A client of the platform that keeps its connections (PROTOCOL.md, "Requests" and "Answers").
import * as http from 'node:http';
import * as deployment from './deployment.mjs';

/**
 * Sends one client attempt.
 *
 * @returns What the client saw: `status`, `seal`, `body`, `isComplete`, or `problem` if there was no answer.
 */
export async function send(gateway, {agent, id, method = 'POST', path, body = '', deadlineMs, headers = {}}) {
	const seen = {
		id, gateway: gateway.name, sentAt: Date.now(), isComplete: false,
	};
	return new Promise(resolve => {
		const finish = problem => {
			seen.endedAt ??= Date.now();
			seen.problem ??= problem;
			resolve(seen);
		};

		const req = http.request({
			agent,
			host: gateway.host,
			port: gateway.port,
			method,
			path,
			headers: {
				Host: deployment.hostName,
				'Bluebellmast-Request-Id': id,
				'Bluebellmast-Deadline-Milliseconds': String(deadlineMs),
				'Bluebellmast-Credential': deployment.apiKey,
				...(method === 'POST' && {'Content-Length': body.length}),
				...headers,
			},
		}, res => {
			seen.status = res.statusCode;
			seen.seal = res.headers['bluebellmast-response-seal'];
			seen.retryAfter = res.headers['retry-after'];
			seen.body = '';
			res.setEncoding('utf8');
			res.on('data', text => {
				seen.body += text;
			});
			res.on('error', () => undefined);
			res.on('close', () => {
				seen.isComplete = res.complete;
				finish(res.complete ? undefined : 'answer cut');
			});
		});
		req.on('socket', () => {
			seen.isOnKeptConnection = req.reusedSocket;
		});
		req.on('error', err => {
			finish(err.code ?? err.message);
		});
		const timer = setTimeout(() => {
			finish('no answer');
			req.destroy();
		}, deadlineMs + 2000);
		timer.unref();
		req.end(body);
	});
}
