// Who gives way when requests together hold more memory than they may, on a manual clock.
import * as tap from 'tap';
import * as bodyBlocks from '../common/body-blocks.js';
import * as memoryBudget from '../common/memory-budget.js';

const mib = 1_048_576;
const chunkBytes = 65_536;
const shortBytes = 500;

const start = (limitBytes: number) => {
	const time = {nowMs: 0};
	const budget = memoryBudget.createMemoryBudget(() => time.nowMs, limitBytes);
	const gaveWay: string[] = [];
	const addBody = (name: string) => {
		const body = budget.addBody(() => {
			gaveWay.push(name);
		});
		return {name, ...body};
	};

	/** Whether a request with a short body is accepted. */
	const sendShort = () => {
		const body = addBody('short');
		const isAccepted = body.grow(shortBytes);
		body.complete();
		body.release();
		return isAccepted;
	};

	return {time, budget, gaveWay, addBody, sendShort};
};

// Guards against unfinished bodies of many callers that together pass the memory limit.
for (const [count, bytes] of [
	[120, 4 * mib],
	[1000, 290 * 1024],
	[3000, 72 * 1024],
] as const) {
	tap.t.test(`${count} unfinished bodies of ${bytes} bytes beside short requests`, async (t) => {
		const {budget, gaveWay, addBody, sendShort} = start(40 * mib);
		const bodies = Array.from({length: count}, (_, index) => addBody(`body ${index}`));
		let mostBytes = 0;
		let refused = 0;
		for (let sent = 0; sent < bytes; sent += chunkBytes) {
			for (const body of bodies) {
				body.grow(Math.min(chunkBytes, bytes - sent));
				mostBytes = Math.max(mostBytes, budget.bodyBytes);
				refused += sendShort() ? 0 : 1;
			}
		}

		t.ok(mostBytes <= budget.limitBytes, `${mostBytes} bytes held`);
		t.ok(budget.bodyBytes > 0.4 * budget.limitBytes, 'what there is room for stays');
		t.equal(refused, 0, 'short requests refused');
		t.equal(gaveWay.length, new Set(gaveWay).size, 'each gives way once');
		t.equal(budget.unfinishedBodies, count - gaveWay.length);
		t.match(budget.takeGaveWay(), [{what: 'body', count: gaveWay.length}]);
		t.same(budget.takeGaveWay(), []);
	});
}

tap.t.test('the largest unfinished body gives way, of equal ones the oldest', async (t) => {
	const {gaveWay, addBody} = start(10 * mib);
	const bodies = ['a', 'b', 'c'].map((name) => addBody(name));
	bodies[0]!.grow(mib);
	bodies[1]!.grow(2 * mib);
	bodies[2]!.grow(2 * mib);
	t.same(gaveWay, []);
	t.ok(bodies[0]!.grow(mib / 2));
	t.same(gaveWay, ['b']);
	t.notOk(bodies[1]!.grow(1), 'further bytes are not counted');
	t.notOk(bodies[0]!.grow(2 * mib), 'the one that grows, if it is the largest then');
	t.same(gaveWay, ['b', 'a']);
	t.ok(bodies[2]!.grow(mib));
});

tap.t.test(
	'a large body without progress gives way before a larger one that arrives',
	async (t) => {
		const {time, gaveWay, addBody} = start(10 * mib);
		const stalled = addBody('stalled');
		const short = addBody('short');
		const moving = addBody('moving');
		stalled.grow(mib);
		short.grow(shortBytes);
		moving.grow(3 * mib);
		time.nowMs = 2000;
		t.ok(moving.grow(1.5 * mib));
		t.same(gaveWay, ['stalled']);
	},
);

tap.t.test('complete bodies stay, and only short requests find room beside them', async (t) => {
	const {budget, gaveWay, addBody, sendShort} = start(10 * mib);
	const running = addBody('running');
	t.ok(running.grow(5 * mib));
	running.complete();
	t.notOk(addBody('new').grow(mib));
	t.same(gaveWay, ['new']);
	t.ok(sendShort());
	t.equal(budget.bodyBytes, 5 * mib);
	running.release();
	running.release();
	t.equal(budget.bodyBytes, 0);
	t.ok(addBody('later').grow(4 * mib));
});

tap.t.test('a caller of a slow but sound body is served when memory is free', async (t) => {
	const {time, gaveWay, addBody} = start(10 * mib);
	const body = addBody('slow');
	for (let step = 0; step < 40; step++) {
		time.nowMs += 5000;
		t.ok(body.grow(100_000));
	}

	t.same(gaveWay, []);
});

// Guards against unread answers that together pass the memory limit.
tap.t.test('1,000 unread answers: those without progress for longest give way', async (t) => {
	const {time, budget, sendShort} = start(40 * mib);
	const broken: number[] = [];
	let mostBytes = 0;
	const answers = Array.from({length: 1000}, (_, index) =>
		budget.addAnswer(() => {
			broken.push(index);
		}),
	);
	for (const [index, answer] of answers.entries()) {
		time.nowMs++;
		answer.set(chunkBytes);
		// The first caller reads a little all the time.
		answers[0]!.set(index % 2 === 0 ? chunkBytes - 1 : chunkBytes);
		mostBytes = Math.max(mostBytes, budget.answerBytes);
	}

	t.ok(mostBytes <= budget.limitBytes / 2, `${mostBytes} bytes held`);
	t.ok(broken.length > 500);
	t.equal(broken[0], 1);
	t.notOk(broken.includes(0), 'a caller that reads keeps its answer');
	t.notOk(broken.includes(999));
	t.ok(sendShort(), 'answers leave room for bodies');
	for (const answer of answers) {
		answer.release();
	}

	t.equal(budget.answerBytes, 0);
});

tap.t.test('the budget follows from the limit of the process', async (t) => {
	for (const limitMb of [250, 350]) {
		const limitBytes = memoryBudget.heldLimitBytes(limitMb);
		t.ok(limitBytes > 12 * 4 * mib, 'a dozen of the largest bodies');
		t.ok(limitBytes < (limitMb * mib) / 3);
	}

	t.ok(memoryBudget.heldLimitBytes(undefined) > 8 * mib);
	t.ok(memoryBudget.heldLimitBytes(64) >= 8 * mib, 'one large body always finds room');
});

// Guards against the objects of a chunk, which take hundreds of times a byte.
tap.t.test('a body in chunks of a byte takes little more than its size', async (t) => {
	const blocks = bodyBlocks.createBodyBlocks();
	const bytes = 200_000;
	let taken = 0;
	for (let index = 0; index < bytes; index++) {
		taken += blocks.append(Uint8Array.of(index % 251));
	}

	t.ok(taken >= bytes);
	t.ok(taken < 1.2 * bytes, `${taken} bytes taken`);
	const body = blocks.take()!;
	t.equal(body.length, bytes);
	t.ok(body.every((value, index) => value === index % 251));
});

tap.t.test('a body of chunks of any size is whole', async (t) => {
	const blocks = bodyBlocks.createBodyBlocks();
	t.equal(blocks.take(), undefined);
	const sizes = [1, 600, 20_000, 3, 16_384, 16_383, 16_383, 65_536, 0, 7];
	const sent: number[] = [];
	let taken = 0;
	for (const [index, size] of sizes.entries()) {
		const chunk = new Uint8Array(size).fill(index);
		sent.push(...chunk);
		taken += blocks.append(chunk);
	}

	t.equal(blocks.length, sent.length);
	t.ok(taken >= sent.length);
	t.same([...blocks.take()!], sent);
});
