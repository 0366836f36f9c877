/**
 * @file lib-tls.h
 * Creates certificates for tests and reads the one that a server presents.
 */
#ifndef LIB_TLS_H
#define LIB_TLS_H

/**
 * Writes a self-signed certificate for an IP address and its key, as PEM.
 * @param serial serial number, by which a test identifies the certificate
 */
void tls_make_certificate (const char *ip,
                           long serial,
                           const char *certificate_file,
                           const char *key_file);

/**
 * Returns the serial number of the certificate that the server at IP:PORT
 * presents, or -1 if the handshake fails.
 */
long tls_get_server_serial (const char *address);

#endif
