"""Routes requests from callers to targets across availability zones."""

__all__ = ('__version__',)

__version__ = '0.1.0'
