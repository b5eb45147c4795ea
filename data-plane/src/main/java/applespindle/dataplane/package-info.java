/**
 * The HTTP interface of an edge to its clients. {@link applespindle.dataplane.ProxyEndpoint} serves
 * proxied requests over ClientConnection, which checks what the HTTP library does not; an exchange
 * (ProxyExchange, LiveExchange) stands between the HTTP thread and the logic thread for one
 * request.
 */
package applespindle.dataplane;
