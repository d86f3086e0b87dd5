package org.fuchsiadeck.node.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;

import io.vavr.control.Either;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * Makes small HTTP calls without blocking. Every call opens a connection of its own, so that no call is lost to an idle
 * connection that has gone silent.
 */
public final class HttpCalls implements AutoCloseable {
    private static final int SELECTORS = 1;

    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler connector;
    private final Attribute<PendingCall> pending;

    /**
     * Starts the client, with one thread of its own.
     *
     * @throws UncheckedIOException if the selector cannot be opened
     */
    public HttpCalls() {
        transport = TCPNIOTransportBuilder.newInstance()
                .setName("http-calls")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(SELECTORS)
                .setTcpNoDelay(true)
                .build();
        pending = transport.getAttributeBuilder().createAttribute("pending-call");
        connector = TCPNIOConnectorHandler.builder(transport)
                .processor(FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new HttpClientFilter())
                        .add(new AnswerFilter())
                        .build())
                .build();
        try {
            transport.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Makes a call.
     *
     * @param call the call
     * @return completes with the answer or the failure within the call's time limit, and never exceptionally; what
     *     depends on it runs on the client's thread and must not block
     */
    public CompletionStage<Either<HttpFailure, HttpAnswer>> call(HttpCall call) {
        PendingCall p = new PendingCall(call);
        InetSocketAddress to = new InetSocketAddress(call.to().host(), call.to().port());
        try {
            connector.connect(to, new Connected(p));
        } catch (RuntimeException e) {
            p.fail(String.valueOf(e.getMessage()));
        }
        return p.result();
    }

    @Override
    public void close() {
        try {
            transport.shutdownNow();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Writes the request once the connection is open. */
    @SuppressWarnings({"unchecked", "rawtypes"})
    private final class Connected extends EmptyCompletionHandler<Connection> {
        private final PendingCall call;

        Connected(PendingCall call) {
            this.call = call;
        }

        @Override
        public void completed(Connection connection) {
            pending.set(connection, call);
            if (call.begin(connection)) {
                connection.write(call.request(), new EmptyCompletionHandler() {
                    @Override
                    public void completed(Object result) {
                        call.written();
                    }

                    @Override
                    public void failed(Throwable cause) {
                        call.fail(String.valueOf(cause.getMessage()));
                    }
                });
            }
        }

        @Override
        public void failed(Throwable cause) {
            call.fail(String.valueOf(cause.getMessage()));
        }
    }

    /** Hands what arrives to the call that waits on the connection. */
    private final class AnswerFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext context) {
            PendingCall call = pending.get(context.getConnection());
            HttpContent content = context.getMessage();
            if (call != null) {
                call.read(content);
            }
            content.recycle();
            return context.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext context) {
            PendingCall call = pending.get(context.getConnection());
            if (call != null) {
                call.fail("the connection was closed");
            }
            return context.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext context, Throwable cause) {
            PendingCall call = pending.get(context.getConnection());
            if (call != null) {
                call.fail(String.valueOf(cause.getMessage()));
            }
        }
    }
}
