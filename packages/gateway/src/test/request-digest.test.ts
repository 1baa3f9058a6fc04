// Digests of requests that come again.
import * as tap from 'tap';
import * as requestDigest from '../node/request-digest.js';

const bytes = (text: string) => new TextEncoder().encode(text);

tap.t.test('a digest depends on method, path and body', (t) => {
	const {digestRequest} = requestDigest;
	const digest = digestRequest('POST', '/a/x', bytes('hello'));
	t.match(digest, /^[\da-f]{16}$/u);
	t.equal(digestRequest('POST', '/a/x', bytes('hello')), digest);
	const others = [
		digestRequest('PUT', '/a/x', bytes('hello')),
		digestRequest('POST', '/a/y', bytes('hello')),
		digestRequest('POST', '/a/x', bytes('hellO')),
		digestRequest('POST', '/a/x'),
		digestRequest('POST', '/a/x', bytes('a'.repeat(1_000_000))),
		digestRequest('POST', '/a/x', bytes('a'.repeat(1_000_001))),
	];
	t.equal(new Set([digest, ...others]).size, others.length + 1);
	t.end();
});
