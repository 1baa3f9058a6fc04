// Guards every promise to callers under every fault at every step of a request of this kind.
import * as tap from 'tap';
import * as matrix from './matrix/matrix.js';

matrix.defineMatrix(tap.t, 'crossing');
