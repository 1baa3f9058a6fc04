import * as tap from 'tap';
import type * as gatewayEvent from '../common/gateway-event.js';
import * as serverErrorLog from '../node/server-error-log.js';

tap.t.test('errors of a port are logged once a second, with their count', async (t) => {
	const events: gatewayEvent.GatewayEvent[] = [];
	let nowMs = 0;
	const log = {
		note(event: gatewayEvent.GatewayEvent) {
			events.push(event);
		},
	};
	const onError = serverErrorLog.createServerErrorLog(log, () => nowMs)('callers');
	for (; nowMs <= 2000; nowMs += 100) {
		onError(new Error('accept ENFILE'));
	}

	t.same(
		events,
		[1, 10, 10].map((errors) => ({
			kind: 'server-error',
			port: 'callers',
			detail: 'accept ENFILE',
			errors,
		})),
	);
});
