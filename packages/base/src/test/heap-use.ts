/** Measures what a process keeps on its heap. */
import * as buffer from 'node:buffer';
import process from 'node:process';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

v8.setFlagsFromString('--expose-gc');
const collect = vm.runInNewContext('gc') as () => void;

/** Heap and buffers that are in use after a collection. */
export const usedBytes = (): number => {
	collect();
	collect();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
};

/** Text in a buffer of its own, as the HTTP parser makes the value of a header. */
export const receivedText = (text: string): string =>
	buffer.Buffer.from(text, 'latin1').toString('latin1');
