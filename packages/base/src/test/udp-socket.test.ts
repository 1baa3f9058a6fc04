// Guards against a crash when a delayed send runs after the socket was disposed.
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as tap from 'tap';
import * as udpSocket from '../node/udp-socket.js';

tap.t.test('send after dispose counts as a failed send', async (t) => {
	const socket = await udpSocket.bindUdpSocket('127.0.0.1', 0);
	socket.dispose();
	socket.dispose();
	socket.send('127.0.0.1:9', new Uint8Array([1]));
	t.equal(socket.failedSends, 1);
});

// Guards against an address of another daemon that ends this one (issue 39).
tap.t.test('an impossible address counts as a failed send', async (t) => {
	const socket = await udpSocket.bindUdpSocket('127.0.0.1', 0);
	const peers = ['', ':', 'peer', '127.0.0.1:', '127.0.0.1:0', '127.0.0.1:-1', '127.0.0.1:99999'];
	for (const peer of peers) {
		socket.send(peer, new Uint8Array([1]));
	}

	// An address without a host is resolved first, and the others fail at once.
	t.ok(socket.failedSends >= peers.length - 2, `${socket.failedSends} failed sends`);
	socket.dispose();
});

// A peer's address with an impossible port ended the process, since the send threw in a timer.
tap.t.test('send to an impossible address counts as a failed send', async (t) => {
	const socket = await udpSocket.bindUdpSocket('127.0.0.1', 0);
	const addresses = ['nonsense', '', '127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:x'];
	for (const address of addresses) {
		socket.send(address, new Uint8Array([1]));
	}

	t.equal(socket.failedSends, addresses.length);
	socket.dispose();
});

// A start that waited for its address kept one descriptor for each attempt.
tap.t.test('a bind that fails keeps no socket', async (t) => {
	const countSockets = () =>
		process.getActiveResourcesInfo().filter((name) => name === 'UDPWrap').length;
	const settle = async () => {
		// A socket is closed some turns of the event loop later.
		for (let turn = 0; turn < 10; turn++) {
			await timers.setImmediate();
		}
	};

	await settle();
	const holder = await udpSocket.bindUdpSocket('127.0.0.1', 0);
	t.equal(countSockets(), 1, 'the socket that holds the address');
	for (let attempt = 0; attempt < 3; attempt++) {
		await t.rejects(udpSocket.bindUdpSocket('127.0.0.1', holder.port), {code: 'EADDRINUSE'});
	}

	await settle();
	t.equal(countSockets(), 1);
	holder.dispose();
});
