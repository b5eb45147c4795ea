/**
 * Connects the logic of a node to the real world: {@link applespindle.adapters.NodeProcess} runs it
 * on its threads, {@link applespindle.adapters.DiskLog} keeps its records, PeerTransport carries
 * its messages, {@link applespindle.adapters.HttpInterface} serves status and operators, and
 * WorkerClient and WorkerHttpClient talk to workers. An adapter decodes what comes in and hands
 * typed values to the logic thread; what the logic sends is encoded and written on the thread of
 * its channel.
 */
package applespindle.adapters;
