/**
 * Writes lines to a descriptor without ever waiting for its reader. Lines are
 * gathered into few writes; what a slow reader leaves beyond the limit is dropped
 * and counted.
 */
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as stream from 'node:stream';

const flushEveryMs = 500;
/** Bytes gathered before they are written ahead of time. */
const batchBytes = 8192;
/** Bytes held for a slow reader; what comes on top is dropped. */
const maxBufferedBytes = 1_048_576;

export type LineOutput = {
	write(line: string): void;
	/** Lines dropped since the last call, because the reader is slow or gone. */
	takeDropped(): number;
	/** Writes what is gathered. */
	flush(): void;
};

/**
 * A pipe is written through the event loop, since a write to a full pipe by
 * descriptor blocks a thread and with it the end of the process. Files and
 * terminals take every write, at once, so that the last lines are not lost either.
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

/** Creates an output to an open descriptor. Lines that were not flushed are lost at the end of the process. */
export const createLineOutput = (fd: number): LineOutput => {
	const output = openOutput(fd);
	let isClosed = false;
	let gathered: string[] = [];
	let gatheredLength = 0;
	let dropped = 0;

	// A closed reader must not end the process; its lines count as dropped.
	output.on('error', () => {
		isClosed = true;
	});

	const flush = () => {
		if (gathered.length === 0) {
			return;
		}

		if (isClosed || output.writableLength + gatheredLength > maxBufferedBytes) {
			dropped += gathered.length;
		} else {
			output.write(gathered.join(''));
		}

		gathered = [];
		gatheredLength = 0;
	};

	setInterval(flush, flushEveryMs).unref();
	return {
		write(line) {
			gathered.push(line);
			gatheredLength += line.length;
			if (gatheredLength >= batchBytes) {
				flush();
			}
		},
		takeDropped() {
			const taken = dropped;
			dropped = 0;
			return taken;
		},
		flush,
	};
};
