/**
 * Writes lines to a file descriptor without waiting for its reader. Lines are batched
 * into few writes. When a slow reader leaves the buffer full, lines are dropped and counted.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as stream from 'node:stream';

const flushIntervalMs = 500;
/** A batch of this size is written before the next flush interval. */
const batchBytes = 8192;
/** Bytes buffered for a slow reader; lines beyond it are dropped. */
const maxBufferedBytes = 1_048_576;

export type LineOutput = {
	write(line: string): void;
	/** Number of lines dropped since the last call, because the reader was slow or had closed. */
	takeDropped(): number;
	/** Writes the batched lines. */
	flush(): void;
	/** Writes the batched lines synchronously, for a process that is about to end; a full pipe drops them. */
	flushNow(): void;
};

/**
 * A pipe is written through the event loop, because a synchronous write to a full pipe
 * blocks its thread and thus the exit of the process. Files and terminals accept every
 * write immediately, so a synchronous write does not lose the last lines.
 */
const openOutput = (fd: number): stream.Writable => {
	const stat = fs.fstatSync(fd);
	return stat.isFIFO() || stat.isSocket()
		? new net.Socket({fd, readable: false, writable: true})
		: new stream.Writable({
				decodeStrings: false,
				write(text: string, _encoding, callback) {
					try {
						fs.writeSync(fd, text);
						callback();
					} catch (error) {
						callback(error instanceof Error ? error : new Error(String(error)));
					}
				},
			});
};

/** Creates an output to an open descriptor. Lines that are not flushed are lost when the process ends. */
export const createLineOutput = (fd: number): LineOutput => {
	const output = openOutput(fd);
	let isClosed = false;
	let batch: string[] = [];
	let batchLength = 0;
	let dropped = 0;

	// A closed reader must not crash the process; lines for it count as dropped.
	output.on('error', () => {
		isClosed = true;
	});

	const flush = () => {
		if (batch.length === 0) {
			return;
		}

		if (isClosed || output.writableLength + batchLength > maxBufferedBytes) {
			dropped += batch.length;
		} else {
			output.write(batch.join(''));
		}

		batch = [];
		batchLength = 0;
	};

	setInterval(flush, flushIntervalMs).unref();
	return {
		write(line) {
			batch.push(line);
			batchLength += line.length;
			if (batchLength >= batchBytes) {
				flush();
			}
		},
		flushNow() {
			if (batch.length === 0) {
				return;
			}

			// An earlier asynchronous write may have ended in the middle of a line.
			const text = `${output.writableLength > 0 ? '\n' : ''}${batch.join('')}`;
			try {
				fs.writeSync(fd, text);
			} catch {
				// The reader has closed or is too slow, and there is no later log line to count the loss.
				dropped += batch.length;
			}

			batch = [];
			batchLength = 0;
		},
		takeDropped() {
			const taken = dropped;
			dropped = 0;
			return taken;
		},
		flush,
	};
};
