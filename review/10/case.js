/**
 * The only upstream of a region crashes, so the gateway there relays requests to another
 * region. Their heads are within the limit of the configuration, by a few bytes.
 */
import * as net from 'node:net';
import * as harness from '../lib-2/harness.js';

/** `limits.header_bytes` of the configuration. */
const headerBytes = 16_384;
/** Bytes of the whole head: request line, headers and the empty line. */
const headBytes = headerBytes - 4;
const requestCount = 40;
const requestEveryMs = 100;
const settleMs = 6000;
/** Longer than three check-ins, after which the entry of the upstream lapses. */
const lapseMs = 6000;
const answerTimeoutMs = 3500;
/** DENIED: 5 + one in 500 of all requests. */
const allowedDenials = 5 + requestCount / 500;

const record = harness.createRecord(harness.folderOf(import.meta.url));
const store = await harness.startStore(record);
store.put(
	'op/config',
	harness.config(
		1,
		[harness.route('look', '/look/', {kind: 'safe', attempts: 2, service: 'desk'})],
		[harness.service('desk')],
	),
);
const place = {service: 'desk'};
const north = await harness.startUpstream(record, store, {
	...place,
	id: 'i-north',
	zone: 'north-a',
});
await harness.startUpstream(record, store, {...place, id: 'i-south', zone: 'south-a'});
const [gateway] = await harness.startGateways(
	record,
	store,
	[
		{name: 'front-north', zone: 'north-a'},
		{name: 'front-south', zone: 'south-a'},
	],
	{'north-a': 'north', 'south-a': 'south'},
);
await harness.sleep(settleMs);

/** Sends a request with a head of exactly {@link headBytes} and resolves with the status. */
const ask = async (number) =>
	new Promise((resolve) => {
		const attempt = `b${number.toString(16).padStart(6, '0')}`;
		const lines = [
			'GET /look/2f HTTP/1.1',
			'Host: shop.example',
			`Attempt-Id: ${attempt}`,
			'Deadline-Ms: 3000',
			'Note: ',
			'',
			'',
		];
		const rest = headBytes - lines.join('\r\n').length;
		lines[4] += 'n'.repeat(rest);
		const head = lines.join('\r\n');
		record.note(`caller: ${attempt} to ${gateway.name}, head of ${head.length} bytes`);
		let text = '';
		const socket = net.connect(gateway.port, gateway.host, () => {
			socket.write(head);
		});
		let isOver = false;
		const end = () => {
			if (isOver) {
				return;
			}

			isOver = true;
			clearTimeout(timer);
			socket.destroy();
			const status = Number(/^HTTP\/1\.1 (?<status>\d+)/u.exec(text)?.groups.status ?? 0);
			record.note(`caller: ${attempt} answered ${status} ${text.split('\r\n\r\n')[1] ?? ''}`);
			resolve(status);
		};

		const timer = setTimeout(end, answerTimeoutMs);
		socket.on('error', end);
		socket.on('close', end);
		socket.on('data', (bytes) => {
			text += bytes.toString('latin1');
			const length = Number(/\r\ncontent-length: (?<length>\d+)/iu.exec(text)?.groups.length);
			const isWhole =
				text.endsWith('\r\n0\r\n\r\n') || text.split('\r\n\r\n')[1]?.length === length;
			if (isWhole) {
				end();
			}
		});
	});

if (harness.hasTrouble) {
	north.crash();
}

await harness.sleep(lapseMs);
const statuses = [];
for (let number = 1; number <= requestCount; number++) {
	statuses.push(await ask(number));
	await harness.sleep(requestEveryMs);
}

const denied = statuses.filter((status) => status === 431).length;
const served = statuses.filter((status) => status === 200).length;
const summary = `${denied} of ${requestCount} proper requests were ended with 431, ${served} were served`;
await (denied > allowedDenials ? record.broken(summary) : record.held(summary));
