/** Re-exports roarr. Must be imported after `enableRoarr`, which sorts before it. */
export { ROARR, Roarr } from 'roarr';
