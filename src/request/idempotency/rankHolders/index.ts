import { createHash } from 'node:crypto';

/** Number of nodes that hold the records of one key. */
export const HOLDER_COUNT = 2;

const scoreNode = (key: string, nodeId: string): string =>
  createHash('sha256').update(`${key}\n${nodeId}`).digest('hex');

/**
 * Selects the nodes that hold the records of a key by rendezvous hashing, so that a node that joins
 * or leaves changes only the holders of its own keys.
 *
 * @param key - key of a request
 * @param nodeIds - ids of the nodes of one data centre
 * @returns ids of the `HOLDER_COUNT` nodes with the highest scores, highest first
 *
 * @example
 * rankHolders('k1', ['n1', 'n2', 'n3']).length; // 2
 */
export const rankHolders = (key: string, nodeIds: string[]): string[] =>
  nodeIds
    .map((nodeId) => ({ nodeId, score: scoreNode(key, nodeId) }))
    .sort((left, right) => (left.score < right.score ? 1 : -1))
    .slice(0, HOLDER_COUNT)
    .map(({ nodeId }) => nodeId);
