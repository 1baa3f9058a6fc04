// Texts that are kept refer to no other text.
import * as tap from 'tap';
import * as ownText from '../common/own-text.js';
import * as heapUse from './heap-use.js';

const sourceLength = 20_000;
const sources = 500;

/** Heap that is kept by one short text of each of many long ones. */
const keptBytes = (cut: (source: string) => string): number => {
	const before = heapUse.usedBytes();
	const kept = Array.from({length: sources}, (_, index) =>
		cut(heapUse.receivedText(`${index},`.padEnd(sourceLength, 'abcdefgh'))),
	);
	return kept.length === sources ? heapUse.usedBytes() - before : 0;
};

// An id of 13 characters kept the header that it was cut out of.
tap.t.test('an own text does not keep what it was cut out of', async (t) => {
	const cut = (source: string) => source.slice(100, 132);
	const allBytes = sources * sourceLength;
	t.ok(keptBytes(cut) > allBytes / 2, 'a text that is only cut out does');
	for (const length of [12, 13, 32, 64]) {
		const kept = keptBytes((source) => ownText.ownText(source.slice(100, 100 + length), 64));
		t.ok(kept < allBytes / 10, `${kept} bytes for ${length} characters`);
	}
});

tap.t.test('an own text does not keep the parts of which it was put together', async (t) => {
	const kept = keptBytes((source) => ownText.ownText(`service\n${source.slice(100, 132)}`, 64));
	t.ok(kept < (sources * sourceLength) / 10, `${kept} bytes`);
});

tap.t.test('an own text is equal to its source, up to the longest length', async (t) => {
	const odd = `${'"\\\n\u0000\u00E4\u20AC\uD800'.repeat(3)}end`;
	t.equal(ownText.ownText(odd, 100), odd);
	t.equal(ownText.ownText('abcdef', 4), 'abcd');
	t.equal(ownText.ownText('x'.repeat(100), 64), 'x'.repeat(64));
	t.equal(ownText.ownText('', 4), '');
});
