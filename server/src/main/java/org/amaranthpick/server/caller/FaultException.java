package org.amaranthpick.server.caller;

/** Carries a {@link RequestFault} out of the parsing of a request. */
final class FaultException extends Exception {
    private static final long serialVersionUID = 1L;

    private final transient RequestFault mFault;

    FaultException(RequestFault fault) {
        super(fault.message());
        mFault = fault;
    }

    static FaultException badRequest(String message, String remedy) {
        return new FaultException(RequestFault.badRequest(message, remedy));
    }

    RequestFault fault() {
        return mFault;
    }
}
