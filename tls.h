/**
 * @file tls.h
 * Provides TLS for servers and clients, with the OpenSSL bufferevents of
 * libevent.
 */
#ifndef TLS_H
#define TLS_H

#include <stdbool.h>

struct bufferevent;
struct event_base;

typedef struct tls tls_t;

/**
 * Loads a server's certificate and key from PEM files.
 * @return a child of @a parent, or NULL after one line on stderr
 */
tls_t *tls_server_new (void *parent,
                       const char *certificate_file,
                       const char *key_file);

/**
 * Reads the certificate and the key again. Open connections keep the ones that
 * they started with.
 * @return false, after a line on stderr, when the files cannot be used; new
 *         connections then use the previous ones
 */
bool tls_server_reload (tls_t *tls);

/** Creates a bufferevent for a connection that a server accepts. @return owned
 * by the caller */
struct bufferevent *tls_server_bufferevent (tls_t *tls,
                                            struct event_base *base);

/**
 * Creates a client context that trusts the certificates in a PEM file.
 * @return a child of @a parent, or NULL after one line on stderr
 */
tls_t *tls_client_new (void *parent, const char *trust_file);

/**
 * Creates a bufferevent for a client's connection. The handshake fails unless
 * the peer's certificate is trusted and valid for the address @a ip.
 * @return owned by the caller
 */
struct bufferevent *
tls_client_bufferevent (tls_t *tls, struct event_base *base, const char *ip);

#endif
